// Package ids defines the identifier types that the processes share.
//
// # Usage
//
//	key := ids.RequestKey{Workspace: "growers", Request: "lot-17"}
package ids

// Workspace is the name of a workspace in the declared configuration.
type Workspace string

// Service is the name of a service in the declared configuration.
type Service string

// Request identifies a request within its workspace. If the caller does not choose it, the router generates it.
type Request string

// VM identifies a virtual machine in the platform's list.
type VM string

// FailureDomain is the name of a set of VMs that fail together.
type FailureDomain string

// Region is the name of a set of failure domains that are close to each other.
type Region string

// Revision is the number of an accepted configuration. It only increases; zero means none.
type Revision uint64

// Owner identifies the router process that owns an answer. A restarted router is another owner.
type Owner string

// Call identifies one attempt of a router to forward a non-idempotent call.
type Call string

// Fence is the fencing number of an order lease. It only increases.
type Fence uint64
