package process

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/internal/settings"
)

// reloadInterval is the interval at which the settings file is read, so that a change
// takes effect within about a second even if no signal is sent to the process.
const reloadInterval = time.Second

// WatchSettings applies changes of the settings file until ctx is canceled. It reads
// the file immediately on a signal and otherwise every reloadInterval, and applies it
// if its contents differ from what was last read.
func (p *Process) WatchSettings(ctx context.Context, file string, signalled <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current, _ := os.ReadFile(file)
	for {
		why := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-signalled:
			why = "SIGHUP"
		case <-ticker.C:
		}
		text, err := os.ReadFile(file)
		if err != nil {
			klog.ErrorS(err, "Settings not reloaded; the ones in use stay", "file", file)
			continue
		}
		if bytes.Equal(text, current) {
			continue
		}
		current = text
		p.reload(file, text, why)
	}
}

// reload applies the settings that can change while the process runs: the addresses of
// the control replicas and the disabled mechanisms. If the file is invalid, the current
// settings stay in use.
func (p *Process) reload(file string, text []byte, why string) {
	s, problems := settings.Parse(text)
	if len(problems) > 0 {
		klog.ErrorS(&settings.InvalidError{File: file, Problems: problems}, "Settings not reloaded; the ones in use stay", "file", file, "why", why)
		return
	}
	changed := !slices.Equal(s.ControlReplicas, p.client.Addresses())
	if changed {
		p.client.SetAddresses(s.ControlReplicas)
	}
	if p.Node != nil {
		p.Node.Disable(s.Disabled)
	}
	klog.InfoS("Settings reloaded", "file", file, "why", why, "controlReplicas", s.ControlReplicas, "changed", changed, "disabled", s.Disabled.Names())
}
