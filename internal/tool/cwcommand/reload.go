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

// reloadEvery is how often the settings file is looked at without a signal.
const reloadEvery = 5 * time.Second

// reloader reads the platform's settings file again when SIGHUP comes, and now
// and then without one. What it names is fixed for the life of a process: a
// change is logged, and takes effect with the next start. A file that cannot be
// used changes nothing.
type reloader struct {
	path  string
	now   platform.Settings
	clock clockwork.Clock
	log   *log.Logger
	// fault is the last fault that was logged, so that each is logged once.
	fault string
	hup   chan os.Signal
}

// listen takes SIGHUP from now on; without it the signal ends the process.
func (r *reloader) listen() {
	r.hup = make(chan os.Signal, 1)
	signal.Notify(r.hup, syscall.SIGHUP)
}

// run reloads until ctx ends. SIGHUP is still taken after that.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-r.hup:
			r.log.Info("reload", "path", r.path)
		case <-r.clock.After(reloadEvery):
		case <-ctx.Done():
			return
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		if err.Error() != r.fault {
			r.fault = err.Error()
			r.log.Error("settingsUnusable", "path", r.path, "cause", err)
		}
		return
	}
	r.fault = ""
	if !same(s, r.now) {
		r.log.Warn("settingsChanged", "path", r.path, "effect", "at the next start")
		r.now = s
	}
}

func same(a, b platform.Settings) bool {
	x, y := slices.Sorted(slices.Values(a.DataCentres)), slices.Sorted(slices.Values(b.DataCentres))
	a.DataCentres, b.DataCentres = nil, nil
	return slices.Equal(x, y) && a.String() == b.String()
}
