package main

func limiterScenarios() []scenario { return nil }
