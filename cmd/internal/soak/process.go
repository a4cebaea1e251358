package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// stopTime bounds a planned stop: the grace time of the settings and a margin.
const stopTime = 8 * time.Second

// process is one entry instance. It is safe for concurrent use.
type process struct {
	binary, settings string
	log              io.Writer

	// turn is held by the fault that acts on the process.
	turn sync.Mutex

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// disturbed are the times at which it was started or paused, or went on.
	disturbed []time.Time
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, "platform", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the kind of end is known to who brought it about
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
	p.disturbed = append(p.disturbed, time.Now())
	return nil
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended already
}

// pause stops the process for a while.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.mu.Lock()
	p.disturbed = append(p.disturbed, time.Now())
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// stop asks the process to end and waits; it returns false if it had to be killed.
func (p *process) stop(how os.Signal) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.signal(how)
	select {
	case <-ended:
		return true
	case <-time.After(stopTime):
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// disturbedBetween tells whether it was started or paused between two times.
func (p *process) disturbedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.disturbed {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// descriptors returns the number of open files of the process.
func (p *process) descriptors() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list), trace.ConvertSystemError(err)
}
