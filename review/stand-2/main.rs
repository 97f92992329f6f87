//! The cases of the second review: `review-stand CASE FOLDER`, started by `review/N/run.sh` from the root.

mod base;
mod crowd;
mod moved;
mod sites;
mod zones;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-stand CASE FOLDER");
        std::process::exit(2);
    };
    match case.as_str() {
        "moved" => moved::run(folder),
        "twice" => sites::twice_at_once(folder),
        "crowd" => crowd::run(folder),
        "after" => sites::after_answer(folder),
        "zones" => zones::run(folder),
        _ => std::process::exit(2),
    }
}
