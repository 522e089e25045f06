// Package standin holds small stand-ins for what the system talks to: the
// platform's object store and VM list, and upstream leaves. They follow the
// published protocols and can be told to fail. They are test scaffolding and
// are linked into medlar-standin and tests only.
package standin
