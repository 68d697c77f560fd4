package poolplan

import (
	"encoding/binary"
	"slices"
)

// imageSets numbers sets of images, so that the compatibility of each is computed once. Set 0 is empty.
type imageSets struct {
	compatible Compatibility
	// names are the images by index.
	names []string
	// images are the sorted images of each set.
	images [][]int
	// shares are the compatibilities of the sets, unknownShare before they are computed.
	shares []float64
	// numbers are the sets by their images.
	numbers map[string]int
	// added and removed are the results of adding an image to a set and of removing it.
	added, removed map[setImage]int
}

// unknownShare marks a compatibility that is not computed yet.
const unknownShare = -1.0

type setImage struct{ set, image int }

func newImageSets(compatible Compatibility) imageSets {
	return imageSets{compatible: compatible, images: [][]int{nil}, shares: []float64{unknownShare},
		numbers: map[string]int{"": 0}, added: make(map[setImage]int), removed: make(map[setImage]int)}
}

// share returns the compatibility of a set.
func (s *imageSets) share(set int) float64 {
	if s.shares[set] == unknownShare {
		names := make([]string, len(s.images[set]))
		for i, image := range s.images[set] {
			names[i] = s.names[image]
		}
		s.shares[set] = s.compatible(names)
	}
	return s.shares[set]
}

func (s *imageSets) contains(set, image int) bool {
	_, ok := slices.BinarySearch(s.images[set], image)
	return ok
}

// add returns the set with an image.
func (s *imageSets) add(set, image int) int {
	if s.contains(set, image) {
		return set
	}
	key := setImage{set, image}
	result, ok := s.added[key]
	if !ok {
		i, _ := slices.BinarySearch(s.images[set], image)
		result = s.find(slices.Insert(slices.Clone(s.images[set]), i, image))
		s.added[key] = result
	}
	return result
}

// remove returns the set without an image.
func (s *imageSets) remove(set, image int) int {
	key := setImage{set, image}
	result, ok := s.removed[key]
	if !ok {
		result = s.find(slices.DeleteFunc(slices.Clone(s.images[set]), func(i int) bool { return i == image }))
		s.removed[key] = result
	}
	return result
}

// find returns the index of a set, which is numbered on first use.
func (s *imageSets) find(images []int) int {
	var key []byte
	for _, image := range images {
		key = binary.AppendUvarint(key, uint64(image))
	}
	number, ok := s.numbers[string(key)]
	if !ok {
		number = len(s.images)
		s.numbers[string(key)] = number
		s.images = append(s.images, images)
		s.shares = append(s.shares, unknownShare)
	}
	return number
}
