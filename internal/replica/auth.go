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

// Operator may change the estates of the listed institutions and, with Hosts, announce planned
// stops and change replicas. If no operators are configured, any client that can connect to the
// listener may do all of this; the settings allow that only on loopback or when they say so
// explicitly.
type Operator struct {
	Name         string
	TokenSHA256  string
	Institutions []string
	Hosts        bool
}

var errUnauthorized = errors.New("this operator may not make this change; " +
	"use a token that the control replicas' settings list for it (`cactusctl --token-file F`)")

// authenticate identifies the operator by its token. The claimed name is used only if no operators
// are configured.
func (r *Replica) authenticate(header http.Header, claimedName string) (Operator, error) {
	if len(r.options.Operators) == 0 {
		return Operator{Name: claimedName, Institutions: nil, Hosts: true}, nil
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

// hostOperator identifies the operator by its token and checks that it may change hosts and
// replicas.
func (r *Replica) hostOperator(header http.Header, claimedName string) (Operator, error) {
	operator, err := r.authenticate(header, claimedName)
	if err == nil && !operator.Hosts {
		err = fault.New(fault.Unauthorized, errUnauthorized)
	}
	return operator, err
}

func (r *Replica) authorize(o Operator, institution string) error {
	if len(r.options.Operators) == 0 || slices.Contains(o.Institutions, institution) || slices.Contains(o.Institutions, "*") {
		return nil
	}
	return fault.New(fault.Unauthorized, errUnauthorized)
}
