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

let Zone = { name : Text, region : Text }

let Voter = { address : Text, zone : Text }

let Zones =
      { Type =
          { zone : Text -- this copy's zone; "" where the charter says it
          , zones : List Zone -- all zones and the region of each, the same at all copies, in the same order
          , listen : Text -- UDP, where other copies are heard; loopback alone
          , known_as : Text -- the address that others know it by; "" for `listen`
          , peers : List Text -- copies asked first
          , voters : List Voter -- copies that decide, an odd number, spread over the zones; the same at all copies
          , secret : Text -- what copies seal their datagrams with, the same at all; 16 characters at least
          , suspect_s : Double -- evidence stands against a zone for so long before it is left
          , hold_down_s : Double -- a zone that was out is well for so long before it comes back; doubles at each relapse
          , hold_down_most_s : Double -- up to this
          , calm_s : Double -- without a fault for so long, it is at its shortest again
          , hold_s : Double -- a decision stands for so long without a word of the voters
          , leaf_bears : Double -- parts a second that a warm leaf bears; 0.0 where nobody knows: then nothing is spilled
          , dry_run : Bool -- decide and log, move nothing
          }
      , default =
          { zone = ""
          , known_as = ""
          , peers = [] : List Text
          , suspect_s = 0.6
          , hold_down_s = 5.0
          , hold_down_most_s = 300.0
          , calm_s = 120.0
          , hold_s = 10.0
          , leaf_bears = 0.0
          , dry_run = False
          }
      }

let Store =
      { Type =
          { path : Text -- one file, of this copy alone, on a disk that outlives the process
          , every_s : Double -- what is known is written so often; what a voter must not forget as it changes
          , oldest_s : Double -- what is older is no knowledge of leaves
          }
      , default = { every_s = 2.0, oldest_s = 60.0 }
      }

let Logs =
      { Type =
          { json : Bool -- one JSON object a line, else plain lines
          , levels : Text -- by module: "info", or "info,pipitcrank_server::replicas::connection=debug"
          }
      , default = { json = False, levels = "info" }
      }

in  { Type =
        { upgrade : Optional Upgrade.Type
        , gateway : Optional Gateway.Type
        , zones : Optional Zones.Type
        , store : Optional Store.Type
        , logs : Optional Logs.Type
        }
    , default =
      { upgrade = None Upgrade.Type
      , gateway = None Gateway.Type
      , zones = None Zones.Type
      , store = None Store.Type
      , logs = None Logs.Type
      }
    , Upgrade
    , Site
    , Gateway
    , Zone
    , Voter
    , Zones
    , Store
    , Logs
    }
