/*
 * Model of leases by log order with the evidence E1, E3 and E4: the model of spec/escrow.pml without tokens.
 * Checked: no two VMs act on the slot.
 */
// bounds: 2 VMs, 1 contended slot, 4 records, F=2 L=1 wait=4 ticks, one record in transit per VM, only one VM leaves the VM list, reads are instantaneous, readers miss no change of the VM list, no log expiry, no restart
// mutants: WAIT LISTED CHAIN VOUCH RELEASE DISPLACED
#define LEASE_ONLY
#define MAXREC 4
#include "escrow.pml"
