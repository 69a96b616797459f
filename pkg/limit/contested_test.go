package limit

import "testing"

// TestContestedHolderStops guards against two VMs that use one slot after its records have expired from the log. The
// holder is off the VM list, no peer reaches it and its appends stay in transit, so a new VM cannot see that it exists.
// The holder must stop once it reads the other VM's claim, although it can see that the claim is void.
func TestContestedHolderStops(t *testing.T) {
	sim := newSimulation(3)
	run := func(steps int) {
		t.Helper()
		for range steps {
			sim.advance()
			if violation := sim.findViolation(); violation != "" {
				t.Fatal(violation)
			}
		}
	}
	run(12)
	sim.kill(sim.vms[0])
	sim.vms = append(sim.vms, sim.newVM(3))
	run(2)
	sim.logDown = true
	// The records of the slots expire during the outage.
	run(80)
	holder := sim.vms[3]
	holder.unlisted = true
	sim.kill(sim.vms[2])
	run(80)
	holder.appendResult = appendDelayed
	holder.noPeers = true
	sim.logDown = false
	sim.kill(sim.vms[1])
	sim.vms = append(sim.vms, sim.newVM(4))
	run(80)
}
