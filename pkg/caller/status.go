package caller

// Status is the answer of GET /statusz: what operators need to see a release note come into force.
type Status struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// ConfigNext is the offset of the first record of the config stream that the VM has not applied.
	ConfigNext   int64  `json:"config_next"`
	ConfigDigest string `json:"config_digest"`
	// Contact is in_contact, outage or isolated.
	Contact  string `json:"contact"`
	Draining bool   `json:"draining"`
	Ready    bool   `json:"ready"`
	// Running is the number of requests that the VM works on.
	Running int64 `json:"running"`
	// Slots are the limit slots that the VM holds and may use.
	Slots []string `json:"slots"`
	// LivePeers are the other VMs that answer.
	LivePeers []string `json:"live_peers"`
}
