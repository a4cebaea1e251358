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

// stopTimeout limits a planned stop: the grace time of the settings plus a margin.
const stopTimeout = 8 * time.Second

// process is one entry instance, restarted as needed. It is safe for concurrent use.
type process struct {
	binary, settings string
	log              io.Writer

	// faultMu is held by the fault that acts on the process.
	faultMu sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disruptions holds the times at which the process was started or resumed.
	disruptions []time.Time
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, "platform", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit status is determined by the fault that ends the process
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	p.disruptions = append(p.disruptions, time.Now())
	return nil
}

func (p *process) signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // the process may have exited already
}

// pause suspends the process for the given time.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.mu.Lock()
	p.disruptions = append(p.disruptions, time.Now())
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
}

// stop sends a signal and waits until the process has exited. It returns false if the process
// did not exit within stopTimeout and was killed.
func (p *process) stop(sig os.Signal) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.signal(sig)
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// disruptedBetween reports whether the process was started or resumed between two times.
func (p *process) disruptedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.disruptions {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// openFiles returns the number of open files of the process.
func (p *process) openFiles() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries), trace.ConvertSystemError(err)
}
