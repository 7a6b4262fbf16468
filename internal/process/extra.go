package process

import (
	"expvar"
	"maps"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"cactuspath/internal/adapter"
	"cactuspath/internal/hop"
	"cactuspath/internal/node"
	"cactuspath/internal/resources"
	"cactuspath/internal/settings"
)

// extraListener is a listener for the adapter or the metrics, with its handler.
type extraListener struct {
	listener net.Listener
	handler  http.Handler
}

// chooseAdapter returns the adapter that the settings name, or nil if they name none,
// after it has applied its options to the settings.
func chooseAdapter(s *settings.Settings, adapters map[string]adapter.Adapter) (adapter.Adapter, error) {
	if s.Adapter == nil {
		return nil, nil
	}
	chosen := adapters[s.Adapter.Name]
	if chosen == nil {
		return nil, errors.Newf("the settings name the adapter %q, which this program does not have; correct adapter.name", s.Adapter.Name)
	}
	return chosen, errors.Wrap(chosen.Configure(s), "read adapter.options in the settings")
}

func (p *Process) dialect() *hop.Dialect {
	if p.adapter == nil {
		return nil
	}
	return p.adapter.Dialect()
}

// openExtra opens the listeners of the adapter and the metrics.
func (p *Process) openExtra() error {
	if p.adapter != nil && p.Node != nil {
		handler := p.adapter.NodeHandler(p.Node)
		for _, address := range p.Settings.Adapter.Listen {
			if err := p.addExtra(address, handler); err != nil {
				return err
			}
		}
	}
	if p.Settings.Metrics == "" {
		return nil
	}
	router := mux.NewRouter()
	router.HandleFunc("/debug/vars", node.ServeVars(p.vars))
	return p.addExtra(p.Settings.Metrics, router)
}

func (p *Process) addExtra(address string, handler http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	p.extra = append(p.extra, extraListener{l, handler})
	return nil
}

// vars returns the metrics of all parts of the process.
func (p *Process) vars() map[string]expvar.Var {
	all := map[string]expvar.Var{}
	if p.Node != nil {
		maps.Copy(all, p.Node.Vars())
	}
	if p.Replica != nil {
		maps.Copy(all, p.Replica.Vars())
	}
	maps.Copy(all, p.resources.Vars())
	return all
}

// replicaVars returns the metrics of the control replica and of the process.
func (p *Process) replicaVars() map[string]expvar.Var {
	all := p.Replica.Vars()
	maps.Copy(all, p.resources.Vars())
	return all
}

// serveExtra starts to serve the listeners for the adapter and the metrics. The
// returned function closes them.
func (p *Process) serveExtra() (closeAll func()) {
	var servers []*http.Server
	for _, e := range p.extra {
		server := &http.Server{Handler: resources.HoldBodies(e.handler), ReadHeaderTimeout: controlHeaderTimeout}
		servers = append(servers, server)
		listener := p.resources.Listen(server, e.listener, resources.Others)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "Listener failed", "address", e.listener.Addr())
			}
		}()
	}
	return func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
}

// rpcPrefix is the path prefix of all RPCs between cactuspath processes, and of those
// of cactusctl.
const rpcPrefix = "/cactuspath.v1."

// routeByPrefix returns a handler that passes requests whose path begins with rpcPrefix
// to own and all others to other.
func routeByPrefix(own, other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, rpcPrefix) {
			own.ServeHTTP(w, r)
			return
		}
		other.ServeHTTP(w, r)
	})
}
