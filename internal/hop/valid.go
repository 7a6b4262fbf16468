package hop

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedResponse means that what a peer sent is not a response in the protocol. net/http accepts
// some of it, such as blanks in the names of fields.
var ErrMalformedResponse = errors.New("the response has a malformed head or trailer; check what listens at the address of the backend server")

// maxStatus is the highest status that the protocol has a class for.
const maxStatus = 599

// validateHead checks what http.ReadResponse leaves to its caller, of interim responses as well.
func validateHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1,
		resp.StatusCode < http.StatusContinue, resp.StatusCode > maxStatus,
		// No request asks for another protocol.
		resp.StatusCode == http.StatusSwitchingProtocols:
		return ErrMalformedResponse
	}
	if !ValidFields(resp.Header) || !ValidFields(resp.Trailer) {
		return ErrMalformedResponse
	}
	return nil
}

// ValidFields reports whether the names of all fields are tokens and their values have no control
// bytes. Programs read a name with a blank before its colon in different ways: what is one field to
// some is another to others, so such a field can be smuggled past a program that looks for another one.
func ValidFields(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}
