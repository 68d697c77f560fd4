//go:build race

package orderpaths

// raceReduction is subtracted from the largest number of troubles: the race detector makes a scenario some five times
// as long, and a data race shows in the short ones.
const raceReduction = 1
