-- One of three copies on loopback, each in a zone of its own, all three voters. The other copies' files are the same with
-- `zone` and `listen` changed over, and their charters' ports.
let Operators = ../operators.dhall

in  Operators::{
    , zones = Some Operators.Zones::{
      , zone = "a"
      , listen = "127.0.0.1:7201"
      , zones = [ { name = "a", region = "north" }, { name = "b", region = "north" }, { name = "c", region = "north" } ]
      , voters =
        [ { address = "127.0.0.1:7201", zone = "a" }
        , { address = "127.0.0.1:7202", zone = "b" }
        , { address = "127.0.0.1:7203", zone = "c" }
        ]
      , secret = "change me: sixteen or more"
      }
    }
