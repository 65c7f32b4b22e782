//! Files of a fleet's folder and objects of its object service, as operators and intruders write them.

use std::fs;

use serde_json::Value;

use crate::{
    fleet,
    process, //
};

impl fleet::Fleet {
    /// Writes a file into the fleet's folder, where `laburnumctl` runs.
    pub fn write_file(&self, name: &str, text: &str) {
        fs::write(self.folder().join(name), text).expect("a file");
    }

    /// Reads a file of the fleet's folder.
    pub fn read_file(&self, name: &str) -> String {
        fs::read_to_string(self.folder().join(name)).expect("a file")
    }

    /// Returns version and value of an object, if it exists.
    pub async fn get_object(&self, key: &str) -> Option<(String, String)> {
        let page = format!("/v1/objects/{key}");
        let answer = self.http.get(self.store_addr, &page).await.ok()?;
        let version = answer.header("etag")?.to_owned();
        (answer.status == 200).then_some((version, answer.body))
    }

    /// Returns keys and values of the objects under a prefix.
    pub async fn list_objects(&self, prefix: &str) -> Vec<(String, String)> {
        let page = format!("/v1/list?prefix={prefix}");
        let answer = self.http.get(self.store_addr, &page).await;
        let mut listing = answer.expect("a listing").json();
        let text = |value: &Value| value.as_str().expect("text").to_owned();
        let objects = listing["objects"].take();
        let objects = objects.as_array().expect("objects").iter();
        objects
            .map(|o| (text(&o["key"]), text(&o["value"])))
            .collect()
    }

    /// Writes an object over the given version, or a new one; returns its version.
    pub async fn put_object(&self, key: &str, over: Option<&str>, value: &str) -> String {
        let uri = format!("http://{}/v1/objects/{key}", self.store_addr);
        let request = match over {
            Some(version) => hyper::Request::put(uri).header("if-match", version),
            None => hyper::Request::put(uri).header("if-none-match", "*"),
        };
        let request = request.body(value.to_owned()).expect("a request");
        let answer = self.http.send(request).await.expect("an answer");
        assert!(
            answer.status < 300,
            "{key}: {} {}",
            answer.status,
            answer.body
        );
        answer.header("etag").expect("a version").to_owned()
    }

    /// Starts the object service again at its address, without any object.
    pub async fn restart_store_empty(&mut self) {
        let args = ["--listen".into(), self.store_addr.to_string()];
        let store = process::Process::start(self.folder(), "store", "laburnum-fake-store", &args);
        self.store = store;
        self.wait_healthy(self.store_addr).await;
    }
}
