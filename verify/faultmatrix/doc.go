// Package faultmatrix runs every step of the system under every fault. Real
// entries, agents and workers run in one process in virtual time, connected by
// in-memory links that can be silent, held, cut, delayed and duplicated. The
// recorded history of each run is checked against the invariants.
//
// The package has tests only. `go test ./verify/faultmatrix -update` writes the result to
// docs/fault-matrix.md; without the flag the tests verify that the page is current.
package faultmatrix
