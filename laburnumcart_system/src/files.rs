//! Reads and writes files in the folder of a fleet and objects in its object service.

use std::fs;

use serde_json::Value;

use crate::{
    fleet,
    process, //
};

impl fleet::Fleet {
    /// Writes a file into the folder of the fleet, the working directory of `laburnumctl`.
    pub fn write_file(&self, name: &str, text: &str) {
        fs::write(self.folder().join(name), text).expect("a file");
    }

    /// Reads a file from the folder of the fleet.
    pub fn read_file(&self, name: &str) -> String {
        fs::read_to_string(self.folder().join(name)).expect("a file")
    }

    /// Returns the version and the value of an object, if it exists.
    pub async fn get_object(&self, key: &str) -> Option<(String, String)> {
        let page = format!("/v1/objects/{key}");
        let response = self.http.get(self.store_addr, &page).await.ok()?;
        let version = response.header("etag")?.to_owned();
        (response.status == 200).then_some((version, response.body))
    }

    /// Returns the keys and values of all objects under a prefix.
    pub async fn list_objects(&self, prefix: &str) -> Vec<(String, String)> {
        let page = format!("/v1/list?prefix={prefix}");
        let response = self.http.get(self.store_addr, &page).await;
        let mut listing = response.expect("a listing").json();
        let text = |value: &Value| value.as_str().expect("text").to_owned();
        let objects = listing["objects"].take();
        let objects = objects.as_array().expect("objects").iter();
        objects
            .map(|o| (text(&o["key"]), text(&o["value"])))
            .collect()
    }

    /// Replaces the version `over` of an object, or creates it if `None`; returns the new version.
    pub async fn put_object(&self, key: &str, over: Option<&str>, value: &str) -> String {
        let uri = format!("http://{}/v1/objects/{key}", self.store_addr);
        let request = match over {
            Some(version) => hyper::Request::put(uri).header("if-match", version),
            None => hyper::Request::put(uri).header("if-none-match", "*"),
        };
        let request = request.body(value.to_owned()).expect("a request");
        let response = self.http.send(request).await.expect("a response");
        assert!(
            response.status < 300,
            "{key}: {} {}",
            response.status,
            response.body
        );
        response.header("etag").expect("a version").to_owned()
    }

    /// Replaces the object service by a new process at the same address without any objects.
    pub async fn restart_store_empty(&mut self) {
        let args = ["--listen".into(), self.store_addr.to_string()];
        let store = process::Process::start(self.folder(), "store", "laburnum-fake-store", &args);
        self.store = store;
        self.wait_healthy(self.store_addr).await;
    }
}
