//! Modification of trees by path.

use super::{Content, Entry, Node};
use crate::key_path::split_parent;

impl Node {
    /// Replaces the value at a path, or adds its last key to the parent map. Returns whether the path was set. If its
    /// parent does not exist or cannot have such a member, the tree is unchanged.
    pub fn set(&mut self, path: &str, content: Content) -> bool {
        let (parent, key) = split_parent(path);
        let Some(child) = self.at_mut(parent).and_then(|parent| parent.child_mut(key)) else {
            return false;
        };
        child.content = content;
        true
    }

    /// Returns the member of a map or list. A key that a map does not have is added with a null value.
    fn child_mut(&mut self, key: &str) -> Option<&mut Node> {
        let place = self.place;
        match &mut self.content {
            Content::Map(entries) => {
                let known = entries.iter().position(|entry| entry.key == key);
                let index = known.unwrap_or_else(|| {
                    entries.push(Entry {
                        key: key.to_owned(),
                        place,
                        value: Node {
                            place,
                            content: Content::Null,
                        },
                    });
                    entries.len() - 1
                });
                Some(&mut entries[index].value)
            }
            Content::List(list) => list.get_mut(key.parse::<usize>().ok()?),
            _ => None,
        }
    }

    /// Removes a key from its parent map and returns its value, or `None` if there is no such key.
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
