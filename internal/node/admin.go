package node

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sort"

	"github.com/gorilla/mux"
)

const maxAnnouncementBytes = 16 << 10

// adminHandler serves the API for the backend server beside this node and for operators
// on this host.
func (n *Node) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/server", n.putServer).Methods(http.MethodPut)
	r.HandleFunc("/v1/server", n.deleteServer).Methods(http.MethodDelete)
	r.HandleFunc("/v1/server", n.getServer).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", n.readyz)
	r.HandleFunc("/debug/vars", ServeVars(n.Vars))
	return r
}

// serverState is the response to an announcement.
type serverState struct {
	Announcement
	State string `json:"state"`
	// LeaseMs is how long the announcement is valid; clients renew it three times per
	// lease.
	LeaseMs int64 `json:"leaseMs"`
	// SafeToStop is true when the server is draining and no request is running or
	// queued.
	SafeToStop bool   `json:"safeToStop"`
	InFlight   int    `json:"inFlight"`
	Warning    string `json:"warning,omitempty"`
}

func (n *Node) putServer(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		adminError(w, http.StatusBadRequest, "the announcement is not valid JSON: "+err.Error()+`; send {"service":"…","address":"IP:port"}`)
		return
	}
	if problem := a.validate(); problem != "" {
		adminError(w, http.StatusBadRequest, problem)
		return
	}
	if err := n.announce(a); err != nil {
		adminError(w, http.StatusConflict, err.Error())
		return
	}
	n.getServer(w, r)
}

func (a Announcement) validate() string {
	host, port, err := net.SplitHostPort(a.Address)
	switch {
	case a.Service == "":
		return `field "service" is missing; name the service as the estate does`
	case err != nil || port == "" || net.ParseIP(host) == nil:
		return `field "address" is not an IP address with a port; write an address such as "127.0.0.1:9000"`
	}
	return ""
}

func (n *Node) deleteServer(w http.ResponseWriter, _ *http.Request) {
	n.withdraw("requested by the backend server")
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) getServer(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	s := n.server
	if s == nil {
		n.mu.Unlock()
		adminError(w, http.StatusNotFound, "no backend server is announced; announce it with PUT /v1/server")
		return
	}
	state := serverState{Announcement: Announcement{Service: s.service, Address: s.address, Slots: s.slots, Draining: n.draining()},
		State: "serving", LeaseMs: serverLease.Milliseconds(), InFlight: s.endpoint.InFlight()}
	if record := n.records.Service(s.service); record == nil || record.Removed {
		state.Warning = fmt.Sprintf("service %q is not in the estate at revision %d; submit an estate that has it", s.service, n.records.Revision())
	}
	n.mu.Unlock()
	if state.Draining {
		state.State = "draining"
		state.SafeToStop = state.InFlight == 0
	}
	writeJSON(w, http.StatusOK, state)
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		adminError(w, http.StatusServiceUnavailable, "no configuration yet, or stopping; look at /debug/vars")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func adminError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeVars returns a handler that writes the given metrics in the format of package
// expvar. The handler of expvar itself serves only one set of metrics per process, but
// `cactuspath dev` runs several nodes in one process.
func ServeVars(vars func() map[string]expvar.Var) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		all := vars()
		names := make([]string, 0, len(all))
		for name := range all {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprint(w, "{")
		for i, name := range names {
			if i > 0 {
				fmt.Fprint(w, ",")
			}
			fmt.Fprintf(w, "\n%q: %s", name, all[name])
		}
		fmt.Fprint(w, "\n}\n")
	}
}
