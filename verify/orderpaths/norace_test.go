//go:build !race

package orderpaths

// raceReduction is subtracted from the largest number of troubles.
const raceReduction = 0
