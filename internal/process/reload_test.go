package process

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
)

const reloadSettings = `{"host": "h", "dataCenter": "d", "region": "r", "controlReplicas": ["ADDRESS"], "node": {"callers": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"}}`

// The settings file is changed to other control replicas while the process runs, once
// with a signal and once without. Both changes must take effect, and an invalid file
// must change nothing.
func TestSettingsReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(address string) {
		text := []byte(reloadSettings)
		assert.NilError(t, os.WriteFile(file, bytes.Replace(text, []byte("ADDRESS"), []byte(address), 1), 0o600))
	}
	write("127.0.0.1:1")
	p := &Process{client: controlclient.New(nil, []string{"127.0.0.1:1"}, "")}
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.WatchSettings(ctx, file, signals)
	}()
	time.Sleep(50 * time.Millisecond)
	write("127.0.0.1:2")
	signals <- os.Interrupt
	eventually(t, "the settings are reloaded on the signal", reloadInterval/2, func() bool { return p.client.Addresses()[0] == "127.0.0.1:2" })
	write("not an address")
	time.Sleep(reloadInterval + 200*time.Millisecond)
	assert.Equal(t, p.client.Addresses()[0], "127.0.0.1:2")
	write("127.0.0.1:3")
	eventually(t, "the change is noticed without a signal", 3*reloadInterval, func() bool { return p.client.Addresses()[0] == "127.0.0.1:3" })
	cancel()
	<-done
}
