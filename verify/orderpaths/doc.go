// Package orderpaths holds tests only. They run an owner of package dispatch and two agents of package vmagent with
// stand-in executors in virtual time, and enumerate what can happen to the first messages between them: each order,
// answer and report is delivered, held back, doubled, overtaken or lost with its connection, while the executor refuses
// or delays the start and the agent stands still or restarts. All combinations of a bounded number of troubles are
// played, so that faults which need several at once are found without a lucky seed.
//
// The tests of the next incarnation restart an executor under its ID around a call, which the next incarnation executes at once
// or late, cut it off, and replace the owner by one that reads the committed records, or the agent's process.
//
// A scenario is a sub-test named by its troubles, for example
//
//	go test ./verify/orderpaths -v -run 'TestStartPaths/^result1=held,start=no-room$' -orderpaths.trace
//
// -orderpaths.troubles, -orderpaths.stop, -orderpaths.repeated and -orderpaths.incarnations set the largest number of troubles at once.
package orderpaths
