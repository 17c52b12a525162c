// Package network simulates VMs whose links and processors take time.
//
// A message waits until the sender's link is free, occupies it for its size, travels, occupies the receiver's link and then
// the receiver's processor. Messages between VMs that are cut off from each other are lost.
//
// # Usage
//
//	net := network.New(simtime.New(), 500*time.Microsecond)
//	a := net.Add(network.VM{Link: 20e6 / 8, CPUShare: 0.144})
//	net.Call(a, b, network.Call{Request: 200, Serve: serve, Done: done, Timeout: time.Second})
//	net.Run(10 * time.Second)
package network

import (
	"time"

	"bilberrylug.dev/bench/simtime"
)

const (
	// FramingBytes is added to the size of each message for the headers of TCP, IP and the RPC protocol.
	FramingBytes = 110
	// messageCPUTime is the processor time that the handling of a message takes on a whole core, and cpuTimePerKB the
	// additional time for each kilobyte.
	messageCPUTime = 60 * time.Microsecond
	cpuTimePerKB   = 4 * time.Microsecond
)

// VM describes a machine.
type VM struct {
	// Link is the rate of the link in bytes per second, in each direction.
	Link float64
	// CPUShare is the share of a core; zero means a whole one.
	CPUShare float64
	// Domain numbers the failure domain.
	Domain int
}

// Host is a VM in a network, with what it has sent and received.
type Host struct {
	VM
	// Sent and Received count bytes with framing, Remote those of the sent ones that left the failure domain.
	Sent, Received, Remote int
	// CPUTime is the processor time that messages took, in time of a whole core.
	CPUTime time.Duration
	// MaxQueue is the longest time for which a message waited for the link.
	MaxQueue time.Duration

	uplinkFree, downlinkFree, cpuFree time.Time
}

// Network connects hosts.
type Network struct {
	*simtime.Scheduler
	delay time.Duration
	// Cut reports whether messages from one host to another are lost at present; nil means that none are.
	Cut func(from, to *Host) bool
}

// New returns a network without hosts in which a message takes delay between failure domains.
func New(s *simtime.Scheduler, delay time.Duration) *Network {
	return &Network{Scheduler: s, delay: delay}
}

// Add adds a host.
func (n *Network) Add(vm VM) *Host { return &Host{VM: vm} }

// Send sends a message and calls deliver once the receiver has handled it.
func (n *Network) Send(from, to *Host, bytes int, deliver func()) {
	n.sendBefore(from, to, bytes, time.Time{}, deliver)
}

// sendBefore sends a message whose sender gives up at a deadline: what the link has not carried by then is not sent, and the
// message is lost. A zero deadline means that the sender does not give up.
func (n *Network) sendBefore(from, to *Host, bytes int, deadline time.Time, deliver func()) {
	bytes += FramingBytes
	start := later(n.Now(), from.uplinkFree)
	end := start.Add(transferTime(bytes, from.Link))
	late := !deadline.IsZero() && end.After(deadline)
	if late {
		end = later(start, deadline)
		bytes = min(bytes, int(from.Link*end.Sub(start).Seconds()))
	}
	from.MaxQueue = max(from.MaxQueue, start.Sub(n.Now()))
	from.uplinkFree = end
	from.Sent += bytes
	if from.Domain != to.Domain {
		from.Remote += bytes
	}
	if late || n.Cut != nil && n.Cut(from, to) {
		return
	}
	arrival := from.uplinkFree
	if from.Domain != to.Domain {
		arrival = arrival.Add(n.delay)
	}
	n.At(arrival, func() {
		begin := later(n.Now(), to.downlinkFree)
		to.downlinkFree = begin.Add(transferTime(bytes, to.Link))
		to.Received += bytes
		n.At(to.downlinkFree, func() { n.handle(to, bytes, deliver) })
	})
}

// handle occupies a host's processor for one message.
func (n *Network) handle(h *Host, bytes int, done func()) {
	cpu := messageCPUTime + time.Duration(bytes/1024)*cpuTimePerKB
	h.CPUTime += cpu
	h.cpuFree = later(n.Now(), h.cpuFree).Add(time.Duration(float64(cpu) / h.share()))
	n.At(h.cpuFree, done)
}

// cpuSlice is the processor time, of a whole core, after which other work of a host gets its turn.
const cpuSlice = time.Millisecond

// Work occupies a host's processor for a time of a whole core and then calls done. Messages are handled in between.
func (n *Network) Work(h *Host, cpu time.Duration, done func()) {
	slice := min(cpu, cpuSlice)
	h.CPUTime += slice
	h.cpuFree = later(n.Now(), h.cpuFree).Add(time.Duration(float64(slice) / h.share()))
	n.At(h.cpuFree, func() {
		if cpu > slice {
			n.Work(h, cpu-slice, done)
			return
		}
		done()
	})
}

func (h *Host) share() float64 {
	if h.CPUShare <= 0 {
		return 1
	}
	return h.CPUShare
}

// Call is a request with a reply.
type Call struct {
	// Request is the size of the request in bytes.
	Request int
	// Serve is called at the receiver. It calls reply with the size of the reply, at once or later.
	Serve func(reply func(bytes int))
	// Done is called at the sender: with true when the reply has arrived, or with false at the timeout.
	Done    func(ok bool)
	Timeout time.Duration
}

// Call sends a request and its reply.
func (n *Network) Call(from, to *Host, c Call) {
	ended := false
	end := func(ok bool) {
		if !ended {
			ended = true
			c.Done(ok)
		}
	}
	deadline := n.Now().Add(c.Timeout)
	n.At(deadline, func() { end(false) })
	n.sendBefore(from, to, c.Request, deadline, func() {
		c.Serve(func(bytes int) {
			n.sendBefore(to, from, bytes, deadline, func() { end(true) })
		})
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func transferTime(bytes int, link float64) time.Duration {
	if link <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / link * float64(time.Second))
}
