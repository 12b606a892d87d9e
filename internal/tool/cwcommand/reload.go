package cwcommand

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/platform"
)

// reloadInterval is how often the settings file is read when no SIGHUP arrives.
const reloadInterval = 5 * time.Second

// reloader reads the platform's settings file again on SIGHUP and at regular
// intervals. The settings of a running process are fixed: a change is only logged,
// and takes effect at the next start. An invalid file is logged and ignored.
type reloader struct {
	path    string
	current platform.Settings
	clock   clockwork.Clock
	log     *log.Logger
	// lastError is the error that was logged last; a repeated error is logged once.
	lastError string
	signals   chan os.Signal
}

// registerSignal starts to receive SIGHUP, which would otherwise end the process.
func (r *reloader) registerSignal() {
	r.signals = make(chan os.Signal, 1)
	signal.Notify(r.signals, syscall.SIGHUP)
}

// run reloads the file until ctx ends. SIGHUP stays registered after that and is
// ignored.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-r.signals:
			r.log.Info("reload", "path", r.path)
		case <-r.clock.After(reloadInterval):
		case <-ctx.Done():
			return
		}
		r.reload()
	}
}

// reload reads the file once and logs whether the settings have changed.
func (r *reloader) reload() {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		if err.Error() != r.lastError {
			r.lastError = err.Error()
			r.log.Error("settingsUnusable", "path", r.path, "cause", err)
		}
		return
	}
	r.lastError = ""
	if !sameSettings(s, r.current) {
		r.log.Warn("settingsChanged", "path", r.path, "effect", "at the next start")
		r.current = s
	}
}

// sameSettings compares settings. The order of the data centres has no meaning.
func sameSettings(a, b platform.Settings) bool {
	x, y := slices.Sorted(slices.Values(a.DataCentres)), slices.Sorted(slices.Values(b.DataCentres))
	a.DataCentres, b.DataCentres = nil, nil
	return slices.Equal(x, y) && a.String() == b.String()
}
