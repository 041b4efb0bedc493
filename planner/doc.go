// Package planner holds the arithmetic that the policies for expert maps share:
// step-time skew, its lower bound, the moves between two maps, and the packing
// of the experts of one layer.
//
// All ranks of a group wait for each other in every layer, since the layer ends
// with an exchange of tokens between all ranks. The time of a layer is
// therefore that of its slowest rank: the load of the experts that it holds
// divided by its speed, where the load of an expert is split evenly over its
// replicas. Step-time skew is the sum of the layer times over the sum of the
// times of perfectly balanced layers, minus 1. It is the share of a step by
// which stragglers hold back the group, and 0 when no rank ever waits.
package planner
