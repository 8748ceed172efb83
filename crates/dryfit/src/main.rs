use dryfit::scenario::Scenario;
use dryfit::world::World;
fn main() {
    let f = std::env::args().nth(1).unwrap();
    let s = Scenario::read(&std::fs::read_to_string(f).unwrap()).unwrap();
    let seed = std::env::args().nth(2).map_or(1, |s| s.parse().unwrap());
    let mut w = World::new(s, seed);
    w.log = Some(Vec::new());
    let (r, log) = w.play();
    for l in log.unwrap() {
        println!("{l}");
    }
    println!("{:?}", r.served(0, r.ends));
    println!("{} tries", r.tries.len());
}
