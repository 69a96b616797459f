package caller

// Status is the body of the response to GET /statusz. Operators use it to check whether a release note is in force.
type Status struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// ConfigNext is the offset of the first record of the config stream that the VM has not applied yet.
	ConfigNext   int64  `json:"config_next"`
	ConfigDigest string `json:"config_digest"`
	// Contact is in_contact, outage or isolated.
	Contact  string `json:"contact"`
	Draining bool   `json:"draining"`
	Ready    bool   `json:"ready"`
	// Running is the number of requests in progress.
	Running int64 `json:"running"`
	// Slots are the limit slots that the VM holds and may use.
	Slots []string `json:"slots"`
	// LivePeers are the other VMs that respond.
	LivePeers []string `json:"live_peers"`
}
