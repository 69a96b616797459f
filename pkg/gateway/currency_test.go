package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against readers that are all lost with one data centre, against a narrow link where there are wide ones, and against VMs
// that disagree on who reads.
func TestStoreReadersAreOfDifferentDataCentres(t *testing.T) {
	s := simulateStore(t, 60)
	first := s.vms[0].gateway.storeReaders(endpointReaderCount, s.now)
	if len(first) != 2 {
		t.Fatalf("readers %v", first)
	}
	a, b := s.named(first[0]), s.named(first[1])
	if a.DataCentre == b.DataCentre || a.LinkMbps != defaultLayout.wideMbps || b.LinkMbps != defaultLayout.wideMbps {
		t.Errorf("readers %v in %s and %s with %v and %v Mbit/s", first, a.DataCentre, b.DataCentre, a.LinkMbps, b.LinkMbps)
	}
	for _, vm := range s.vms {
		if got := vm.gateway.storeReaders(endpointReaderCount, s.now); got[0] != first[0] || got[1] != first[1] {
			t.Errorf("%s: readers %v, others %v", vm.gateway.settings.VM, got, first)
		}
	}
}

// Guards against a check of a stream that waits for the whole time limit of a call before it is repeated, and against two calls
// in a row to a store that fails.
func TestChecksAreRepeatedSoon(t *testing.T) {
	g := newTestGateway(1)
	for _, wait := range []time.Duration{0, verifyReadWait} {
		plan := g.readPlan(OperatorStream, wait)
		check := plan[len(plan)-2]
		if check.wait != 0 || check.limit != checkTimeout || plan[0].limit < wait+checkTimeout {
			t.Errorf("wait %v: %+v", wait, plan)
		}
	}
	g.streams[OperatorStream].failing = true
	if plan := g.readPlan(OperatorStream, 0); len(plan) != 1 || plan[0].limit != storeTimeout {
		t.Errorf("while the store fails: %+v", plan)
	}
}

// Guards against a VM whose own call failed once and that leaves the reading to others: it has to look again as soon as no proof
// arrives any more.
func TestVMThatLeavesTheReadingLooksAgainAfterAFailure(t *testing.T) {
	g := newTestGateway(1)
	now := steady.Now()
	st := g.streams[OperatorStream]
	st.synced, st.failing = true, true
	st.freshness.Verified(now.Add(-time.Minute))
	g.checkCurrency(now)
	select {
	case <-st.wake:
		t.Error("the pause after a failure is ended without a reason")
	default:
	}
	st.leftToOthers = true
	g.checkCurrency(now)
	select {
	case <-st.wake:
	default:
		t.Error("the VM goes on to leave the reading to others")
	}
}

// Guards against a hub that holds new operator records back until its next regular batch.
func TestNewRecordsAreToldAtOnce(t *testing.T) {
	g := newTestGateway(84)
	g.platform = Platform{Decoder: simDecoder{}}
	g.mu.Lock()
	g.applyRecords(OperatorStream, []Record{{Key: "config", Value: []byte("1")}}, logpos.Position{Offset: 1})
	g.mu.Unlock()
	select {
	case <-g.newsRequests:
	default:
		t.Error("no batch is requested")
	}
}
