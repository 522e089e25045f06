// Package standin provides small stand-ins for the external systems: the
// platform's object store and VM list, and upstream leaves. They implement the
// published protocols and fail on request. They are for tests only and are linked
// into medlar-standin and test programs.
package standin
