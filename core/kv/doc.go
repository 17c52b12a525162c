// Package kv is a client of the platform's key-value service and of its list of VMs.
//
// The protocol is HTTP with blocking queries: a read with an index waits until the value changes, a write with an index
// is a compare-and-swap, and a session is a lease. Each call counts against the service's rate limits, so every client
// limits itself to its share of them. A write whose reply is lost has an unknown outcome: the caller reads the key back.
//
// # Usage
//
//	client := kv.New(kv.Options{Address: "http://127.0.0.1:7070", Limiter: limiter})
//	v, err := client.Get(ctx, "config/head")
//	v, ok, err := client.CompareAndSwap(ctx, "config/head", body, v.Index)
package kv
