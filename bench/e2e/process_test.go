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

// process is a started program under test. It listens on the address listen and writes its output to log.
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

// The tests use ports below the ephemeral range. An outgoing connection could otherwise take a port between its selection
// and its use. Concurrent runs start at different ports.
const (
	firstPort = 10_000
	portCount = 20_000
)

var nextPort = os.Getpid() * 101 % portCount

// freeAddress returns a free loopback address.
func freeAddress() string {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	Fail("no free port")
	return ""
}
