// Package ids names the identifiers and units that the processes share.
//
// # Usage
//
//	key := ids.RequestKey{Workspace: "growers", Request: "lot-17"}
package ids

// Workspace names a workspace of the declared configuration.
type Workspace string

// Service names a service of the declared configuration.
type Service string

// Request identifies one request within its workspace. Callers choose it, or a router mints it.
type Request string

// VM identifies a virtual machine in the platform's list.
type VM string

// FailureDomain names a set of VMs that fail together.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// Revision numbers accepted configurations; it only grows. Zero means none.
type Revision uint64

// Owner identifies one life of a router process as the holder of an answer.
type Owner string

// Call identifies one forwarding of a non-idempotent call by a router.
type Call string

// Fence is the fencing number of an order lease; it only grows.
type Fence uint64
