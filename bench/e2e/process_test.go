package e2e_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
)

// process is one started program.
type process struct {
	cmd    *exec.Cmd
	log    *bytes.Buffer
	ended  chan struct{}
	listen string
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// The ports of the tests lie below those that the system gives to outgoing connections, which could otherwise take a port
// between its choice and its use. Runs at the same time begin at different places.
const (
	firstPort = 10_000
	ports     = 20_000
)

var nextPort = os.Getpid() * 101 % ports

// address returns a free loopback address.
func address() string {
	for range ports {
		nextPort = (nextPort + 1) % ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	Fail("no port is free")
	return ""
}
