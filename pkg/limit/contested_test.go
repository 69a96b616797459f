package limit

import "testing"

// TestContestedHolderStops guards against two VMs that act on one slot after the log has lost its state: the holder is
// off the VM list, no peer reaches it and its appends stay in transit, so a new VM cannot learn of it. The holder must
// stop once it reads the other's claim, although it knows that claim to be void.
func TestContestedHolderStops(t *testing.T) {
	w := newWorld(3)
	run := func(steps int) {
		t.Helper()
		for range steps {
			w.advance()
			if broken := w.check(); broken != "" {
				t.Fatal(broken)
			}
		}
	}
	run(12)
	w.kill(w.vms[0])
	w.vms = append(w.vms, w.newVM(3))
	run(2)
	w.logDown = true
	// The records of the slots expire during the outage.
	run(80)
	holder := w.vms[3]
	holder.unlisted = true
	w.kill(w.vms[2])
	run(80)
	holder.fate = fateLate
	holder.noPeers = true
	w.logDown = false
	w.kill(w.vms[1])
	w.vms = append(w.vms, w.newVM(4))
	run(80)
}
