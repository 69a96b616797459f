// Package splitmix computes the numbers of the generator SplitMix64 (Steele, Lea, Flood, Fast Splittable Pseudorandom Number
// Generators, 2014), which also serve as hashes of integers.
package splitmix

// increment is the difference of two successive states: 2^64 divided by the golden ratio.
const increment = 0x9e3779b97f4a7c15

// Number returns the n-th number of the generator with a seed, from 1.
func Number(seed, n uint64) uint64 {
	x := seed + n*increment
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Hash returns a hash of a number, the first of the generator with that seed.
func Hash(x uint64) uint64 {
	return Number(x, 1)
}
