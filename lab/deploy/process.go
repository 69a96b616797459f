// Package deploy starts router processes and publishes release notes for the load tool and the demo.
package deploy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// stopTimeout is the time that a process has to end after SIGTERM.
	stopTimeout = 15 * time.Second
	// pollEvery is the time between two looks at a condition.
	pollEvery = 50 * time.Millisecond
	// probeTimeout bounds one look at a process.
	probeTimeout = time.Second
)

// Process is a child process with its output in a file.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	once sync.Once
}

// Start runs the program. Its output goes to out.
func Start(name string, out io.Writer, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The child ends with this process, also when this process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done closes when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to end and waits. It returns an error when it did not end by itself with status 0.
func (p *Process) Stop() error {
	var err error
	p.once.Do(func() { err = p.stop() })
	return err
}

func (p *Process) stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not end within %v", p.Name, stopTimeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// Await looks at the condition until it holds, the process ends or the context does.
func (p *Process) Await(ctx context.Context, what string, holds func() bool) error {
	for {
		if holds() {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended before %s", p.Name, what)
		case <-ctx.Done():
			return fmt.Errorf("%s: %s: %w", p.Name, what, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// OK tells whether the path answers with status 200.
func OK(addr, path string) bool {
	client := &http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const (
	// firstPort and portCount are the ports that FreeAddr draws from. They lie below those that Linux gives to outgoing
	// connections, which could take a port before the process for which it was drawn listens on it.
	firstPort = 12_000
	portCount = 20_000
	// freeAddrTries is the number of ports that FreeAddr tries.
	freeAddrTries = 100
)

// FreeAddr returns an IP:port of the loopback address on which nothing listens. The error is that of the last port that it tried.
func FreeAddr(ip string) (string, error) {
	var err error
	for range freeAddrTries {
		addr := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(portCount)))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", err
}

// Run runs a program to its end and returns its standard output and error.
func Run(ctx context.Context, program string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, program, args...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), fmt.Errorf("%s ended with status %d: %s", program, exit.ExitCode(), out)
	}
	return string(out), err
}

// CreateLog opens a file for the output of a process.
func CreateLog(dir, name string) (*os.File, error) {
	return os.Create(dir + "/" + name + ".log")
}
