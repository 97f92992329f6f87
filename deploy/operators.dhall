-- What operators may say beside the platform's charter, with its types and defaults. A file of yours begins with
--
--     let Operators = ./operators.dhall in Operators::{ upgrade = Some Operators.Upgrade.default }
--
-- and names only what differs. `pipitcrank check --operators FILE` reads it and names each fault by its key.
-- What is None is off: no task, no socket, no process.
let Upgrade =
      { Type =
          { start_s : Double -- for a new process to have read and checked all it is told by; again to take over
          , settle_s : Double -- how long it is on trial at least, the old one ready to go on
          , silent_s : Double -- on trial: held to hang after this without a sign of life
          , finish_s : Double -- for queries that the old one holds, and again for its last answers
          }
      , default = { start_s = 10.0, settle_s = 5.0, silent_s = 2.0, finish_s = 30.0 }
      }

let Site = { name : Text, address : Text }

let Gateway =
      { Type =
          { site : Text -- this site's name
          , listen : Text -- where other sites' links are taken; loopback alone until links are encrypted
          , sites : List Site -- the others, and where they take links
          , connections : Natural -- kept to each of them
          , prefer_near_s : Double -- what near leaves are preferred by, beside the way's own time
          }
      , default = { sites = [] : List Site, connections = 2, prefer_near_s = 0.02 }
      }

let Logs =
      { Type =
          { json : Bool -- one JSON object a line, else plain lines
          , levels : Text -- by module: "info", or "info,pipitcrank_node::wire=debug"
          }
      , default = { json = False, levels = "info" }
      }

in  { Type = { upgrade : Optional Upgrade.Type, gateway : Optional Gateway.Type, logs : Optional Logs.Type }
    , default = { upgrade = None Upgrade.Type, gateway = None Gateway.Type, logs = None Logs.Type }
    , Upgrade
    , Site
    , Gateway
    , Logs
    }
