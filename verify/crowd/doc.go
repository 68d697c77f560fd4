// Package crowd starts the real entry program on the loopback network and sends it many requests that nobody finishes. Its
// tests check that the process stays alive, stays within the memory and the descriptors of its machine, and still answers an
// ordinary request.
package crowd
