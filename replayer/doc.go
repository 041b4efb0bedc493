// Package replayer replays recorded traces through decision plug-ins.
package replayer
