// Package planner provides the calculations that all planners of expert maps
// share: step-time skew, its lower bound, the number of moves between two maps,
// and the packing of the experts of one layer.
//
// Each layer ends with an exchange of tokens between all ranks of the group, so
// that all ranks wait for the slowest one. The time of a rank is the load of
// its experts divided by its speed, where the load of an expert is split evenly
// among its replicas. The time of a layer is that of its slowest rank.
//
// Step-time skew is the sum of the layer times divided by the sum of the times
// that perfectly balanced layers would take, minus 1. It is the fraction by
// which stragglers lengthen a step, and 0 when no rank ever waits.
package planner
