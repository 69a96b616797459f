package deploy

import (
	"fmt"
	"syscall"
)

// Pause stops the process without ending it, as a frozen VM does.
func (v *VM) Pause() error {
	if err := syscall.Kill(v.process.PID(), syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause %s: %w", v.Name, err)
	}
	return nil
}

// Resume lets a paused process go on.
func (v *VM) Resume() error {
	if err := syscall.Kill(v.process.PID(), syscall.SIGCONT); err != nil {
		return fmt.Errorf("resume %s: %w", v.Name, err)
	}
	return nil
}

// Restart starts the VM again after Kill or after its process has ended. It keeps its name and addresses.
func (f *Fleet) Restart(v *VM) error {
	if v.process != nil {
		<-v.process.Done()
	}
	v.killed.Store(false)
	return f.startVM(v)
}
