package direct

import (
	"context"
	"os"
	"reflect"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/settings"
)

// reloadInterval is the interval at which the settings file is read, since it may change without a signal.
const reloadInterval = 2 * time.Second

// Reload reloads the settings on each SIGHUP and whenever the file has changed, until ctx is done. If the new settings
// are invalid, the previous ones stay active. A change of addresses takes effect only at the next start.
func (a *App) Reload(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := a.opts.Clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	applied := a.cfg
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
			a.opts.Log.Write(event.Reloaded, "reason", reason, "outcome", "previous settings kept", "error", err.Error())
			continue
		}
		if reflect.DeepEqual(cfg, applied) && reason != "hangup" {
			continue
		}
		applied = cfg
		a.apply(cfg)
		a.opts.Log.Write(event.Reloaded, "reason", reason, "outcome", "new settings applied")
	}
}

// apply applies the settings that may change at runtime: retry budget, shutdown time, limits of memory and connections, and
// log level.
func (a *App) apply(cfg Settings) {
	a.state.mu.Lock()
	a.state.budget.SetLimits(cfg.budget())
	a.state.mu.Unlock()
	a.shutdown.limit.Store(int64(cfg.StopSeconds * float64(time.Second)))
	setMemoryLimit(cfg)
	a.state.callerMemory.account.SetCapacity(bodyMemory(cfg.MemoryMegabytes))
	a.state.callerMemory.deliveries.SetCapacity(deliveryMemory(cfg.MemoryMegabytes))
	a.handler.conns.bound.Store(int64(cfg.callerBound()))
	a.opts.Log.SetLevel(cfg.Level())
}
