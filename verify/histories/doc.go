// Package histories holds tests only. They run the parts that serve the users'
// platform (gateway, coordinator, dispatch and vmagent) in virtual time against
// stand-ins of the store and the executors, with random work and random faults,
// and check the recorded events against the invariants of package history.
package histories
