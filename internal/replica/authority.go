package replica

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"cactuspath/api/fault"
)

// Operator may change the estates of the institutions named, and with Hosts
// announce planned stops and change replicas. An empty list of operators lets
// anyone who reaches the listener do all; the settings allow that only on
// loopback or when they say so.
type Operator struct {
	Name         string
	TokenSHA256  string
	Institutions []string
	Hosts        bool
}

var errUnauthorized = errors.New("this operator may not make this change; " +
	"use a token that the control replicas' settings list for it (`cactusctl --token-file F`)")

// operator finds who calls. The claimed name counts only where no operators
// are configured.
func (r *Replica) operator(header http.Header, claimed string) (Operator, error) {
	if len(r.options.Operators) == 0 {
		return Operator{Name: claimed, Institutions: nil, Hosts: true}, nil
	}
	token := strings.TrimPrefix(header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range r.options.Operators {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(strings.ToLower(o.TokenSHA256))) == 1 {
			return o, nil
		}
	}
	return Operator{}, fault.New(fault.Unauthorized, errUnauthorized)
}

// hostOperator finds who calls, who must be one that may change hosts and replicas.
func (r *Replica) hostOperator(header http.Header, claimed string) (Operator, error) {
	who, err := r.operator(header, claimed)
	if err == nil && !who.Hosts {
		err = fault.New(fault.Unauthorized, errUnauthorized)
	}
	return who, err
}

func (r *Replica) mayChange(o Operator, institution string) error {
	if len(r.options.Operators) == 0 || slices.Contains(o.Institutions, institution) || slices.Contains(o.Institutions, "*") {
		return nil
	}
	return fault.New(fault.Unauthorized, errUnauthorized)
}
