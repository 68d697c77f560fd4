// Package histories holds tests only. They run the gateway, coordinator, dispatch and
// vmagent packages in virtual time against a simulated store and simulated executors, inject
// random work and random faults, and check the recorded events against the invariants
// of package history.
package histories
