// Package kv speaks to the platform's key-value service and to its list of VMs.
//
// The protocol is HTTP with blocking queries: a read with an index waits until the value changes, a write with an index
// is a compare-and-swap, and a session is a lease. Each call counts against the service's rates, so every client holds
// its own share of them with a limiter. A write whose answer is lost has an unknown outcome: the caller reads back.
//
// # Usage
//
//	client := kv.New(kv.Options{Address: "http://127.0.0.1:7070", Calls: calls})
//	v, err := client.Get(ctx, "config/head")
//	ok, err := client.CompareAndSwap(ctx, "config/head", body, v.Index)
package kv
