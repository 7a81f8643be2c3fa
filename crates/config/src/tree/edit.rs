//! Changes of a tree by path.

use super::{Content, Entry, Node};
use crate::key_path::split_parent;

impl Node {
    /// Replaces the value at a path, or adds a key to the map above it. Returns whether the tree was changed.
    pub fn set(&mut self, path: &str, content: Content) -> bool {
        let (parent, key) = split_parent(path);
        match self.at_mut(parent) {
            Some(parent) => parent.set_child(key, content),
            None => false,
        }
    }

    fn set_child(&mut self, key: &str, content: Content) -> bool {
        let place = self.place;
        match &mut self.content {
            Content::Map(entries) => {
                match entries.iter_mut().find(|entry| entry.key == key) {
                    Some(entry) => entry.value.content = content,
                    None => entries.push(Entry {
                        key: key.to_owned(),
                        place,
                        value: Node { place, content },
                    }),
                }
                true
            }
            Content::List(list) => {
                let index = key.parse::<usize>().ok();
                let member = index.and_then(|index| list.get_mut(index));
                member.map(|member| member.content = content).is_some()
            }
            _ => false,
        }
    }

    /// Removes a key from the map above it, and returns its value.
    pub fn remove(&mut self, path: &str) -> Option<Node> {
        let (parent, key) = split_parent(path);
        match &mut self.at_mut(parent)?.content {
            Content::Map(entries) => {
                let index = entries.iter().position(|entry| entry.key == key)?;
                Some(entries.remove(index).value)
            }
            _ => None,
        }
    }

    fn at_mut(&mut self, path: &str) -> Option<&mut Node> {
        let mut parts = path.split('.').filter(|part| !part.is_empty());
        parts.try_fold(self, |node, part| match &mut node.content {
            Content::Map(entries) => entries
                .iter_mut()
                .find(|entry| entry.key == part)
                .map(|entry| &mut entry.value),
            Content::List(list) => list.get_mut(part.parse::<usize>().ok()?),
            _ => None,
        })
    }
}
