-- One of two sites on loopback: it takes the other's links at 7101 and keeps two connections to it at 7102. The other
-- site's file is the same with names and ports changed over.
let Operators = ../operators.dhall

in  Operators::{
    , gateway = Some Operators.Gateway::{
      , site = "north"
      , listen = "127.0.0.1:7101"
      , sites = [ { name = "south", address = "127.0.0.1:7102" } ]
      }
    }
