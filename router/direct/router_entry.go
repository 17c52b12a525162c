package direct

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// entryLease is the lease of a router's entry in the store. A router whose entry has expired is still known to the routers
	// that it sends state updates to.
	entryLease = 6 * time.Second
	// entryRenewal is the interval between renewals. It leaves time for two attempts before the lease ends.
	entryRenewal = 2 * time.Second
	// entryTimeout bounds one renewal with all its calls to the store.
	entryTimeout = 1500 * time.Millisecond
)

// routerEntry is a router's entry in the store.
type routerEntry struct {
	Address string `json:"address"`
}

// applyRouter applies a change of a router's entry.
func (a *App) applyRouter(c store.Change) {
	vm := ids.VM(c.Key[len(a.opts.Decode.Layout.Routers):])
	var e routerEntry
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &e); err != nil {
			a.opts.Log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", c.Modified)
			return
		}
	}
	a.broadcaster.SetListed(vm, e.Address)
	a.opts.Log.Write(event.PeerChanged, "router", vm, "address", e.Address, "listed", !c.Removed, "store_revision", c.Modified)
}

// maintainEntry keeps this router's entry in the store and removes it when ctx is done.
func (a *App) maintainEntry(ctx context.Context) {
	var lease store.Lease
	for ctx.Err() == nil {
		err := a.renewEntry(ctx, &lease)
		if err != nil && ctx.Err() == nil {
			a.opts.Log.Write(event.StoreFailed, "call", "renew router entry", "error", err.Error())
		}
		select {
		case <-ctx.Done():
		case <-a.opts.Clock.After(entryRenewal):
		}
	}
	if lease.ID == 0 || lease.Era != a.state.storeEra() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), entryRevokeTimeout)
	defer cancel()
	if err := a.opts.Store.Revoke(ctx, lease); err != nil {
		a.opts.Log.Write(event.StoreFailed, "call", "revoke lease of router entry", "error", err.Error())
	}
}

// renewEntry renews the lease of this router's entry. If there is none or it has ended, it writes the entry with a new one.
func (a *App) renewEntry(ctx context.Context, lease *store.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	if lease.ID != 0 {
		era, err := a.opts.Store.KeepAlive(ctx, *lease)
		ended := errors.Is(err, store.ErrLeaseEnded) || err == nil && era != lease.Era
		if !ended {
			return err
		}
		*lease = store.Lease{}
	}
	l, _, err := a.opts.Store.Grant(ctx, max(entryLease, time.Duration(a.cfg.Store.LeaseMinimumMs)*time.Millisecond))
	if err != nil {
		return err
	}
	value, err := json.Marshal(routerEntry{Address: a.cfg.Peers})
	if err != nil {
		return err
	}
	if err := a.opts.Store.Put(ctx, a.opts.Decode.Layout.Routers+string(a.cfg.VM), value, l); err != nil {
		return err
	}
	*lease = l
	return nil
}

// readConfig reads the configuration from the store.
func (a *App) readConfig(ctx context.Context) (store.Item, error) {
	key := a.opts.Decode.Layout.Config
	page, err := a.opts.Store.Range(ctx, key, "")
	if err != nil {
		return store.Item{}, err
	}
	for _, i := range page.Items {
		if i.Key == key {
			return i, nil
		}
	}
	return store.Item{}, errNoConfig
}

var errNoConfig = errors.New("the store has no configuration")
