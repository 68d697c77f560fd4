// Package faultmatrix injects every fault at every step of the system. Real entries and agents run with simulated
// workers in one process in virtual time, connected by an in-memory network that can drop, delay, duplicate and
// partition traffic. The recorded history of each run is checked against the invariants.
//
// The package has tests only. `go test ./verify/faultmatrix -update` writes the result to
// docs/fault-matrix.md; without the flag the tests verify that the page is current.
package faultmatrix
