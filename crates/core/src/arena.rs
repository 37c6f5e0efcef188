//! Small copyable keys and the tables that they index.
//!
//! A key is only valid for the table that issued it. Tables are rebuilt for each
//! configuration revision.

use std::{marker::PhantomData, ops};

/// Converts between a key and its position in a table.
pub trait ArenaKey: Copy {
    /// Creates the key of a position.
    fn from_index(index: usize) -> Self;
    /// Returns the position of the key.
    fn index(self) -> usize;
}

macro_rules! arena_key {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

arena_key! {
    /// Identifies a region.
    RegionKey,
    /// Identifies a failure domain.
    DomainKey,
    /// Identifies a model.
    ModelKey,
    /// Identifies a model engine.
    EngineKey,
    /// Identifies a service.
    ServiceKey,
    /// Identifies a backend server of a plain service.
    PlainKey,
    /// Identifies a client account.
    AccountKey,
}

/// Holds rows that are indexed by keys.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    rows: Vec<T>,
    keys: PhantomData<K>,
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// Adds a row and returns its key.
    pub fn push(&mut self, row: T) -> K {
        self.rows.push(row);
        K::from_index(self.rows.len() - 1)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the rows in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.rows.iter().enumerate().map(|(index, row)| (K::from_index(index), row))
    }

    /// Finds the first row that satisfies a predicate.
    pub fn find(&self, mut fits: impl FnMut(&T) -> bool) -> Option<(K, &T)> {
        self.iter().find(|(_, row)| fits(row))
    }

    /// Returns the row of a key, or `None` if the key is out of range.
    pub fn get(&self, key: K) -> Option<&T> {
        self.rows.get(key.index())
    }
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self { rows: Vec::new(), keys: PhantomData }
    }
}

impl<K: ArenaKey, T> FromIterator<T> for Arena<K, T> {
    fn from_iter<I: IntoIterator<Item = T>>(rows: I) -> Self {
        Self { rows: rows.into_iter().collect(), keys: PhantomData }
    }
}

impl<K: ArenaKey, T> ops::Index<K> for Arena<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.rows[key.index()]
    }
}

impl<K: ArenaKey, T> ops::IndexMut<K> for Arena<K, T> {
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.rows[key.index()]
    }
}
