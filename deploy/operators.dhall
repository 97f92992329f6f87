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

let Logs =
      { Type =
          { json : Bool -- one JSON object a line, else plain lines
          , levels : Text -- by module: "info", or "info,pipitcrank_node::wire=debug"
          }
      , default = { json = False, levels = "info" }
      }

in  { Type = { upgrade : Optional Upgrade.Type, logs : Optional Logs.Type }
    , default = { upgrade = None Upgrade.Type, logs = None Logs.Type }
    , Upgrade
    , Logs
    }
