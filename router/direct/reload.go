package direct

import (
	"context"
	"os"
	"reflect"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/settings"
)

// reloadInterval is the pause between looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

// Reload reads the settings again at each hangup, and looks for changes of the file, until the context ends. Settings that
// are not valid leave the former ones in force. Addresses hold for the life of the process.
func (a *App) Reload(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := a.o.Clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := a.cfg
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reason = "hangup"
		case <-ticker.Chan():
		}
		cfg, err := settings.Load[Settings](path)
		if err != nil {
			a.o.Log.Write(event.Reloaded, "reason", reason, "outcome", "former settings stay", "error", err.Error())
			continue
		}
		if reflect.DeepEqual(cfg, last) && reason != "hangup" {
			continue
		}
		last = cfg
		a.apply(cfg)
		a.o.Log.Write(event.Reloaded, "reason", reason, "outcome", "in force")
	}
}

// apply takes the settings that may change while the process runs.
func (a *App) apply(cfg Settings) {
	a.world.mu.Lock()
	a.world.budget.SetLimits(cfg.budget())
	a.world.mu.Unlock()
	a.stop.limit.Store(int64(cfg.StopSeconds * float64(time.Second)))
	setMemoryLimit(cfg)
	a.o.Log.SetLevel(cfg.Level())
}
