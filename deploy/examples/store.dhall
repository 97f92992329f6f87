-- A copy that keeps on disk what the process after it goes on from: what it knows of leaves, and, where it stands with
-- others and votes, what it must not forget. One file for each copy, in a directory that outlives it.
let Operators = ../operators.dhall

in  Operators::{ store = Some Operators.Store::{ path = "pipitcrank-n1.store" } }
